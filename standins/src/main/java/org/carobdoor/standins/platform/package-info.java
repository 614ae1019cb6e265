/** A stand-in for the platform: key-value service, cloud API, weight store and test control. */
@NullMarked
package org.carobdoor.standins.platform;

import org.jspecify.annotations.NullMarked;
