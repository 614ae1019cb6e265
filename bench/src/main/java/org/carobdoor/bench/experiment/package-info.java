/**
 * Seeded experiments that run the production decision code against fake engines and a fake platform
 * on a simulated clock. They do not model a whole cluster: carobdoor itself is represented only by
 * the classes under test.
 */
@NullMarked
package org.carobdoor.bench.experiment;

import org.jspecify.annotations.NullMarked;
