/** The settings of the daemon and the parser of its settings file. */
@NullMarked
package org.carobdoor.node.settings;

import org.jspecify.annotations.NullMarked;
