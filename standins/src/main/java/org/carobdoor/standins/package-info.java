/**
 * Stand-ins (test doubles) for the platform, the model engine and a plain HTTP service. They are
 * used by tests and the quickstart.
 */
@NullMarked
package org.carobdoor.standins;

import org.jspecify.annotations.NullMarked;
