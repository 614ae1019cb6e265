package org.carobdoor.cli;

import com.beust.jcommander.ParametersDelegate;

/** Accepts the shared options also before a subcommand. */
class OptionGroup {
    @ParametersDelegate final CommonOptions common;

    OptionGroup(CommonOptions common) {
        this.common = common;
    }
}
