/** The settings of the daemon on the users' platform. */
@NullMarked
package org.carobdoor.node.gateway.settings;

import org.jspecify.annotations.NullMarked;
