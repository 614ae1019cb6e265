/** The messages that nodes send each other, one record a message. */
@NullMarked
package org.carobdoor.message;

import org.jspecify.annotations.NullMarked;
