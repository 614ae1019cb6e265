/** The settings file of the daemon. */
@NullMarked
package org.carobdoor.node.settings;

import org.jspecify.annotations.NullMarked;
