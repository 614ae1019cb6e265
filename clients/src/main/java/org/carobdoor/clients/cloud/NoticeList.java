package org.carobdoor.clients.cloud;

import java.util.List;

/**
 * The reclaim notices after a given sequence number.
 *
 * @param sequence the sequence number of the last notice, to be passed to the next call
 * @param notices the notices, oldest first
 */
public record NoticeList(long sequence, List<ReclaimNotice> notices) {

    /** Creates a list with a copy of {@code notices}. */
    public NoticeList {
        notices = List.copyOf(notices);
    }
}
