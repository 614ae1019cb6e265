/** Decides whether requests are served, and accounts for those that were. */
@NullMarked
package org.carobdoor.node.admission;

import org.jspecify.annotations.NullMarked;
