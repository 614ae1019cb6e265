package org.carobdoor.cli;

import com.beust.jcommander.ParametersDelegate;

/** Lets the shared options also stand before a subcommand. */
class OptionGroup {
    @ParametersDelegate final CommonOptions common;

    OptionGroup(CommonOptions common) {
        this.common = common;
    }
}
