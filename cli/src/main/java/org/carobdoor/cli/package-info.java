/** The command-line tool {@code carobdoor} for operators. */
@NullMarked
package org.carobdoor.cli;

import org.jspecify.annotations.NullMarked;
