/** The items and responses of the platform's store, independent of their wire format. */
@NullMarked
package org.carobdoor.internal.store;

import org.jspecify.annotations.NullMarked;
