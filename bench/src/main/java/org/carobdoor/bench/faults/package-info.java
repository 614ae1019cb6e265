/**
 * Randomised fault injection into separate processes. Faults are generated from a seed, and
 * workloads check the guarantees of the system while the faults are active.
 */
@NullMarked
package org.carobdoor.bench.faults;

import org.jspecify.annotations.NullMarked;
