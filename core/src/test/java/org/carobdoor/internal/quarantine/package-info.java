/** Tests of the quarantine of requests that crash endpoints. */
@NullMarked
package org.carobdoor.internal.quarantine;

import org.jspecify.annotations.NullMarked;
