package org.waxwingbeam.target;

import java.util.Set;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;

/**
 * Request to assign a target to one attempt at a request.
 *
 * @param attemptId id of the attempt; unique at this entry instance
 * @param service the service
 * @param account the client account on whose behalf the request is sent
 * @param route the route
 * @param idempotent whether the request may be run more than once
 * @param shedRank rank from 0, shed last, to 9, shed first
 * @param queueLimit maximum number of requests for this service that wait at this entry instance
 * @param deadlineNanos time by which the request must have started, on the entry's monotonic clock
 * @param responseGoalNanos response-time goal, after which the response is of little use to the
 *     caller, on the entry's monotonic clock
 * @param hedge whether this is a hedge: an earlier attempt is still outstanding, so that this one
 *     may be refused
 * @param excluded targets of earlier attempts at the request
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
