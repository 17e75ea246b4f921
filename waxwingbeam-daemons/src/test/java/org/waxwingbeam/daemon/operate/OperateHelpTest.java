package org.waxwingbeam.daemon.operate;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class OperateHelpTest {
  @Test
  void helpListsActionsOptionsAndCodes() {
    assertThat(new OperateCommandLine().helpText())
        .isEqualTo(
            """
            Usage: waxwingbeam operate [OPTION]... ACTION

            Changes and shows the configuration.

            Actions:
              template list | get NAME | put FILE | remove NAME
              account list | get NAME | put FILE | remove NAME
              data-centre list | out NAME | in NAME
              version move SERVICE --to VERSION --deadline TIME [--from VERSION]
              version back SERVICE --reason TEXT
              version status
              replica list | replace OLD-ID NEW-ID
              status
              history [FROM-NUMBER]

            Options:
              --control ADDRESS[,ADDRESS]...  the control replicas, separated by commas
              --token-file FILE               file with the operators' credential
              --operator NAME                 who asks, for the history (default: operator)
              --based-on NUMBER               the number that the change was made for; else the current
                                              one
              --change-id ID                  send an earlier change again; else a fresh id is printed
              --from VERSION                  the present version, for a service's first move
              --to VERSION                    the version to move to
              --deadline TIME                 when the move must be finished: 30 min, or 2027-01-31T20:00Z
              --reason TEXT                   why a version move is taken back
              --no-wait                       end once the change is accepted, before it is in force
              --timeout TIME                  how long to try and to wait (default: 15 s)
              --force                         take out a data centre that no entry instance names, or the
                                              last
              --help                          print this text

            Exit codes:
              0  done; a change that was made is in force
              1  failed while running
              2  the command line or the settings are wrong; nothing was done
              3  the change is accepted but not known to be in force everywhere
              4  the change was based on a number that is no longer current
              5  the change was refused; nothing was changed
              6  the change may or may not be accepted; send it again with the same change id
            """);
  }
}
