/** Clients of the platform's cloud API and weight store. */
@NullMarked
package org.carobdoor.clients.cloud;

import org.jspecify.annotations.NullMarked;
