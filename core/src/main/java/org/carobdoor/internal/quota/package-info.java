/** Quotas of client accounts, enforced over all nodes without a central counter. */
@NullMarked
package org.carobdoor.internal.quota;

import org.jspecify.annotations.NullMarked;
