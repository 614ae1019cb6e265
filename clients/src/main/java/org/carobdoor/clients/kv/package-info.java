/** Client of the platform's key-value service. */
@NullMarked
package org.carobdoor.clients.kv;

import org.jspecify.annotations.NullMarked;
