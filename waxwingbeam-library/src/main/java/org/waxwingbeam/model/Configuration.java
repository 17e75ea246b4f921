package org.waxwingbeam.model;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The complete configuration after an accepted change.
 *
 * @param number the number of accepted changes; a higher number is newer
 * @param templates by name
 * @param accounts by name
 * @param dataCentresOut the data centres that are out of service
 * @param moves the latest version move of each service
 * @since 0.1.0
 */
public record Configuration(
    long number,
    SortedMap<TemplateName, Template> templates,
    SortedMap<AccountName, Account> accounts,
    SortedSet<DataCentreName> dataCentresOut,
    SortedMap<ServiceName, VersionMove> moves) {
  /** The configuration before the first change. */
  public static final Configuration EMPTY =
      new Configuration(0, new TreeMap<>(), new TreeMap<>(), new TreeSet<>(), new TreeMap<>());

  /** Creates a configuration with copies of the collections. */
  public Configuration {
    templates = sorted(templates);
    accounts = sorted(accounts);
    dataCentresOut = Collections.unmodifiableSortedSet(new TreeSet<>(dataCentresOut));
    moves = sorted(moves);
  }

  private static <K extends Comparable<K>, V> SortedMap<K, V> sorted(Map<K, V> entries) {
    return Collections.unmodifiableSortedMap(new TreeMap<>(entries));
  }
}
