/** The catalogue as this node has it in force. */
@NullMarked
package org.carobdoor.node.catalogue;

import org.jspecify.annotations.NullMarked;
