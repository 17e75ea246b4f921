package org.waxwingbeam.target;

import java.util.Set;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;

/**
 * Asks for a target for one attempt at a request.
 *
 * @param attemptId identifies the attempt at this entry instance; never used twice
 * @param service the service
 * @param account the client account on whose behalf the request is sent
 * @param route the route
 * @param idempotent whether the request may run twice
 * @param shedRank 0 is shed last, 9 first
 * @param queueLimit requests that may wait for this service at this entry instance
 * @param deadlineNanos when the request must have started, on the entry's monotonic clock
 * @param responseGoalNanos when its answer loses most of its worth, on the entry's monotonic clock
 * @param hedge whether an earlier attempt is still under way, so that this one may be refused
 * @param excluded targets that earlier attempts at the request have used
 * @since 0.1.0
 */
public record DispatchRequest(
    long attemptId,
    ServiceName service,
    AccountName account,
    RouteName route,
    boolean idempotent,
    int shedRank,
    int queueLimit,
    long deadlineNanos,
    long responseGoalNanos,
    boolean hedge,
    Set<TargetId> excluded) {}
