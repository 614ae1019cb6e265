/** Clients of the platform: key-value service, cloud API, weight store. */
@NullMarked
package org.carobdoor.clients;

import org.jspecify.annotations.NullMarked;
