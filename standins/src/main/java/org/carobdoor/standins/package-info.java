/**
 * Small stand-ins of the platform, the model engine and a plain service, for tests and the
 * quickstart.
 */
@NullMarked
package org.carobdoor.standins;

import org.jspecify.annotations.NullMarked;
