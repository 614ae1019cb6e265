/** The operators' command {@code carobdoor}. */
@NullMarked
package org.carobdoor.cli;

import org.jspecify.annotations.NullMarked;
