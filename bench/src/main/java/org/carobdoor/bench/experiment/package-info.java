/**
 * Seeded experiments that run the decision code against small fakes of engines and the platform, on
 * a clock that is passed in. Not a model of a cluster: nothing here stands for carobdoor's own
 * processes but the classes under test.
 */
@NullMarked
package org.carobdoor.bench.experiment;

import org.jspecify.annotations.NullMarked;
