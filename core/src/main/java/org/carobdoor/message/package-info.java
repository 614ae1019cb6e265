/** The messages exchanged between nodes. Each message is a record. */
@NullMarked
package org.carobdoor.message;

import org.jspecify.annotations.NullMarked;
