/** A stand-in of the platform: key-value service, cloud API, weight store and test controls. */
@NullMarked
package org.carobdoor.standins.platform;

import org.jspecify.annotations.NullMarked;
