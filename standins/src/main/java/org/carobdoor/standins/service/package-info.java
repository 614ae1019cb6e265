/** A stand-in for a plain HTTP service that logs the requests it receives. */
@NullMarked
package org.carobdoor.standins.service;

import org.jspecify.annotations.NullMarked;
