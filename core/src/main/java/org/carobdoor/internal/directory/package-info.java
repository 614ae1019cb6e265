/**
 * The directory of endpoints registered in the platform's store, and which of them accept new
 * requests.
 */
@NullMarked
package org.carobdoor.internal.directory;

import org.jspecify.annotations.NullMarked;
