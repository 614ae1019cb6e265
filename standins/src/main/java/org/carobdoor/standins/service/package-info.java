/** A stand-in of a plain service that records every request it receives. */
@NullMarked
package org.carobdoor.standins.service;

import org.jspecify.annotations.NullMarked;
