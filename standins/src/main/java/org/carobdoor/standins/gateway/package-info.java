/**
 * HTTP test doubles for the gateway: the platform's store, its cloud API and endpoints. They use
 * the wire formats of the real systems and can simulate faults.
 */
@NullMarked
package org.carobdoor.standins.gateway;

import org.jspecify.annotations.NullMarked;
