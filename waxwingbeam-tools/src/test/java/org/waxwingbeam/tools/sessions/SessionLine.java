package org.waxwingbeam.tools.sessions;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * One line of a session, such as {@code 100 target t1 starts service=listing data-centre=north}.
 *
 * @param atMs when the line is executed, in milliseconds
 * @param words the actor, its action and the positional arguments
 * @param options the arguments of the form {@code name=value}
 */
record SessionLine(long atMs, List<String> words, Map<String, String> options) {
  static SessionLine parse(String text) {
    List<String> all = Arrays.asList(text.strip().split("\\s+"));
    List<String> words = all.stream().skip(1).filter(word -> !word.contains("=")).toList();
    Map<String, String> options =
        all.stream()
            .filter(word -> word.contains("="))
            .collect(
                Collectors.toMap(
                    word -> word.substring(0, word.indexOf('=')),
                    word -> word.substring(word.indexOf('=') + 1)));
    return new SessionLine(Long.parseLong(all.getFirst()), words, options);
  }

  String word(int index) {
    return words.get(index);
  }

  String option(String name, String defaultValue) {
    return options.getOrDefault(name, defaultValue);
  }
}
