/** Calls of plain services over changing endpoints. */
@NullMarked
package org.carobdoor.node.service;

import org.jspecify.annotations.NullMarked;
