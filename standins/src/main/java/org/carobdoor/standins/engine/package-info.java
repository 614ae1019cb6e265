/** A stand-in for a model engine with continuous batching, a prefix cache and simulated faults. */
@NullMarked
package org.carobdoor.standins.engine;

import org.jspecify.annotations.NullMarked;
