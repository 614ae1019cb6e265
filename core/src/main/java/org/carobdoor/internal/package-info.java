/** Utilities shared by the internal packages of the coordination library. */
@NullMarked
package org.carobdoor.internal;

import org.jspecify.annotations.NullMarked;
