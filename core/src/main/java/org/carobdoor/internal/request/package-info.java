/**
 * Requests and answers as the decision logic uses them, independent of their encoding on the wire.
 */
@NullMarked
package org.carobdoor.internal.request;

import org.jspecify.annotations.NullMarked;
