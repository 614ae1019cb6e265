package org.carobdoor.clients.cloud;

import java.util.List;

/**
 * The reclaim notices after a sequence number.
 *
 * @param sequence the number of the last one; pass it to the next call
 * @param notices the notices, oldest first
 */
public record NoticeList(long sequence, List<ReclaimNotice> notices) {

    /** Copies the list. */
    public NoticeList {
        notices = List.copyOf(notices);
    }
}
