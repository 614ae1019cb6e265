/** A stand-in of a model engine with continuous batching, prefix cache and fault switches. */
@NullMarked
package org.carobdoor.standins.engine;

import org.jspecify.annotations.NullMarked;
