/**
 * Randomised runs against separate processes: a seed draws faults, workloads check the promises of
 * the system while they happen.
 */
@NullMarked
package org.carobdoor.bench.faults;

import org.jspecify.annotations.NullMarked;
