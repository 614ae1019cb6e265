/**
 * The daemon {@code carobdoord}: settings, HTTP interfaces, and the drivers around the state
 * machines.
 */
@NullMarked
package org.carobdoor.node;

import org.jspecify.annotations.NullMarked;
