package org.waxwingbeam.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.wire.replica.Membership;
import org.waxwingbeam.wire.replica.ReplicaMember;

class LeaderSearchTest {
  private static final ReplicaMember FIRST = ReplicaMember.newBuilder().setId("first").build();
  private static final ReplicaMember SECOND = ReplicaMember.newBuilder().setId("second").build();

  private final LeaderSearch search = new LeaderSearch(0);

  private static Membership voters(ReplicaMember voter) {
    return Membership.newBuilder().addVoters(voter).build();
  }

  private boolean isHeard(ReplicaMember member) {
    return search.voter(0, member, false, Optional.empty(), new NoLinks()).heardMs().isPresent();
  }

  @Test
  void messagesOfOthersThanMembersAreNotKept() {
    search.recordMessage(0, "second", voters(FIRST));

    assertThat(isHeard(SECOND)).isFalse();
  }

  @Test
  void formerMembersAreForgotten() {
    search.recordMessage(0, "first", voters(FIRST));
    search.recordMessage(0, "second", voters(SECOND));

    assertThat(isHeard(FIRST)).isFalse();
    assertThat(isHeard(SECOND)).isTrue();
  }

  private static final class NoLinks implements ReplicaLinks {
    @Override
    public Link link(ReplicaMember member) {
      return Link.NONE;
    }

    @Override
    public Failures failures(long nowNanos) {
      return Failures.NONE;
    }
  }
}
