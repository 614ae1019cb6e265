/**
 * Stand-ins of the users' platform for tests of the gateway: the store, the cloud API and
 * endpoints, with their wire format and with faults.
 */
@NullMarked
package org.carobdoor.standins.gateway;

import org.jspecify.annotations.NullMarked;
