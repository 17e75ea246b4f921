package org.waxwingbeam.replica;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Writes why there is no leader, in bounded length, for logs and responses.
 *
 * @since 0.1.0
 */
public final class LeaderAbsenceText {
  private static final int MAX_VOTERS = 7;
  private static final int MAX_NAME_LENGTH = 40;

  private LeaderAbsenceText() {}

  /** Returns the name of a cause, such as {@code voters-silent}. */
  public static String name(LeaderAbsence.Cause cause) {
    return lowerCase(cause);
  }

  /** Returns the keys and values, in turn, that each refusal is logged with. */
  public static List<Object> summary(LeaderAbsence absence) {
    LeaderAbsence.Standing standing = absence.standing();
    return List.of(
        "cause",
        name(absence.cause()),
        "role",
        role(standing),
        "term",
        standing.term(),
        "leader_age_ms",
        absence.lastLeader().ageMs(),
        "voters",
        absence.voters().size(),
        "linked",
        absence.linked(),
        "heard",
        absence.heard(),
        "granted",
        absence.granted(),
        "refused",
        absence.refused());
  }

  /** Returns further keys and values, with what is known of each of the first voters. */
  public static List<Object> details(LeaderAbsence absence) {
    LeaderAbsence.Campaign campaign = absence.campaign();
    ReplicaLinks.Failures failures = absence.failures();
    return List.of(
        "votes",
        absence.standing().votes(),
        "last_leader",
        absence.lastLeader().id().map(LeaderAbsenceText::shortened).orElse("none"),
        "pre_votes",
        campaign.preVotes(),
        "elections",
        campaign.elections(),
        "round",
        campaign.round().map(LeaderAbsenceText::round).orElse("none"),
        "voter_links",
        voters(absence.voters()),
        "learners",
        absence.learners(),
        "links_lost",
        failures.lost(),
        "messages_failed",
        failures.failed(),
        "last_failure",
        failures
            .last()
            .map(each -> "%s:%d-ms-ago".formatted(shortened(each.type()), each.ageMs()))
            .orElse("none"));
  }

  /** Returns one sentence for a response. It names no other replica. */
  public static String sentence(LeaderAbsence absence) {
    LeaderAbsence.Standing standing = absence.standing();
    return "%s; role %s, term %d, last leader %d ms ago, %d of %d voters reachable"
        .formatted(
            name(absence.cause()),
            role(standing),
            standing.term(),
            absence.lastLeader().ageMs(),
            absence.heard(),
            absence.voters().size());
  }

  private static String role(LeaderAbsence.Standing standing) {
    boolean takesPart = standing.role() != ReplicaRole.SUSPENDED;
    return standing.resigned() && takesPart ? "resigned" : lowerCase(standing.role());
  }

  private static String round(LeaderAbsence.Round round) {
    return "%s-%d".formatted(round.preVote() ? "pre-vote" : "vote", round.term());
  }

  private static String voters(List<LeaderAbsence.Voter> voters) {
    Stream<String> listed = voters.stream().limit(MAX_VOTERS).map(LeaderAbsenceText::voter);
    int others = voters.size() - MAX_VOTERS;
    Stream<String> rest = others > 0 ? Stream.of(others + "-more") : Stream.empty();
    return Stream.concat(listed, rest).collect(Collectors.joining(";", "[", "]"));
  }

  private static String voter(LeaderAbsence.Voter voter) {
    String name = "%s@%s".formatted(shortened(voter.id()), shortened(voter.host()));
    Optional<String> vote =
        voter.granted()
            ? Optional.of("granted")
            : voter.refusingTerm().map("refused-in-term-%d"::formatted);
    Stream<String> state = voter.own() ? Stream.of("self") : link(voter);
    return Stream.concat(state, vote.stream()).collect(Collectors.joining(",", name + ":", ""));
  }

  private static Stream<String> link(LeaderAbsence.Voter voter) {
    ReplicaLinks.Link link = voter.link();
    return Stream.of(
            Optional.of("out-" + lowerCase(link.outbound())),
            link.silentMs().map("silent-%d-ms"::formatted),
            Optional.of(link.inbound() ? "in" : "no-in"),
            Optional.of(voter.heardMs().map("heard-%d-ms-ago"::formatted).orElse("never-heard")))
        .flatMap(Optional::stream);
  }

  private static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static String shortened(String name) {
    return name.length() <= MAX_NAME_LENGTH ? name : name.substring(0, MAX_NAME_LENGTH) + "...";
  }
}
