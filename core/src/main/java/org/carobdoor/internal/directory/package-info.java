/** Which endpoints exist and which of them may get new requests, as the platform's store tells. */
@NullMarked
package org.carobdoor.internal.directory;

import org.jspecify.annotations.NullMarked;
