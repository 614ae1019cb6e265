package org.carobdoor;

/** Receives changes of the membership. */
@FunctionalInterface
public interface MembershipListener {

    /** Called after the state of {@code member} has changed to {@code member.state()}. */
    void onChange(Member member);
}
