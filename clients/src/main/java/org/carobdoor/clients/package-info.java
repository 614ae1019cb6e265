/** Clients of the platform services: key-value service, cloud API and weight store. */
@NullMarked
package org.carobdoor.clients;

import org.jspecify.annotations.NullMarked;
