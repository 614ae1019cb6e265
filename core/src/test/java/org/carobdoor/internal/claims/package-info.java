/** Tests of the claim logs. */
@NullMarked
package org.carobdoor.internal.claims;

import org.jspecify.annotations.NullMarked;
