/**
 * The public part of the coordination library: shared identifiers, results, and the ports through
 * which the library reaches the platform's key-value service and other nodes.
 *
 * <p>The state machines are implemented in {@code org.carobdoor.internal} and its subpackages. They
 * perform no I/O: they take a clock and a random source and return the operations to perform.
 */
@NullMarked
package org.carobdoor;

import org.jspecify.annotations.NullMarked;
