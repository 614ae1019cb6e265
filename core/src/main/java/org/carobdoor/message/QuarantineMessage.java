package org.carobdoor.message;

/** A message about requests that crash endpoints. Repetition has no further effect. */
public sealed interface QuarantineMessage extends PeerMessage
        permits CrashReport, FeatureClearance, QuarantineNotice {}
