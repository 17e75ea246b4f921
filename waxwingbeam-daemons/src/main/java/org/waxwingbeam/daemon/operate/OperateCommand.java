package org.waxwingbeam.daemon.operate;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.List;
import org.waxwingbeam.daemon.Command;
import org.waxwingbeam.daemon.ExitCode;

/**
 * The {@code operate} command, which changes and shows the configuration.
 *
 * @since 0.1.0
 */
public final class OperateCommand implements Command {
  @Override
  public String name() {
    return "operate";
  }

  @Override
  public String summary() {
    return "change and show the configuration";
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) throws Exception {
    OperateCommandLine commandLine = new OperateCommandLine();
    try {
      OperateCommandLine.Parsed parsed = commandLine.parse(arguments);
      if (parsed.wantsHelp()) {
        out.print(commandLine.helpText());
        return ExitCode.OK;
      }
      Action action = new ActionParser(parsed, System.currentTimeMillis()).parse();
      return run(action, parsed.options(), out, err);
    } catch (UsageException invalid) {
      invalid.getMessage().lines().forEach(each -> err.println("waxwingbeam operate: " + each));
      return ExitCode.USAGE;
    } catch (IOException unreadable) {
      err.println("waxwingbeam operate: file can't be read: " + unreadable.getMessage());
      return ExitCode.USAGE;
    }
  }

  private static ExitCode run(
      Action action, OperateOptions options, PrintStream out, PrintStream err)
      throws IOException, InterruptedException {
    String token = Files.readString(options.tokenFile()).strip();
    try (OperatorClient client =
        new OperatorClient(options.controlEndpoints(), token, options.timeoutMs())) {
      Viewer viewer = new Viewer(client, out, err);
      Submitter submitter = new Submitter(client, options, out, err);
      return switch (action) {
        case Action.Submit submit -> submitter.submit(submit.change());
        case Action.ReplaceReplica replace -> submitter.replace(replace);
        case Action.ShowConfiguration show -> viewer.showConfiguration(show);
        case Action.ShowStatus status -> viewer.showStatus();
        case Action.ShowReplicas replicas -> viewer.showReplicas();
        case Action.ShowHistory history -> viewer.showHistory(history.from());
      };
    }
  }
}
