package org.waxwingbeam.tools.measure.path;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;

/** The processor time and the allocation of a set of threads. */
record ThreadUsage(long cpuNanos, long allocatedBytes) {
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  /** Returns the ids of the live threads whose name starts with a prefix. */
  static Set<Long> idsOf(String prefix) {
    return Arrays.stream(THREADS.getThreadInfo(THREADS.getAllThreadIds()))
        .filter(thread -> thread != null && thread.getThreadName().startsWith(prefix))
        .map(thread -> thread.getThreadId())
        .collect(Collectors.toSet());
  }

  /** Returns the usage of the threads since their start. */
  static ThreadUsage of(Set<Long> ids) {
    long cpu = ids.stream().mapToLong(THREADS::getThreadCpuTime).sum();
    long allocated = ids.stream().mapToLong(THREADS::getThreadAllocatedBytes).sum();
    return new ThreadUsage(cpu, allocated);
  }

  /** Returns the usage since an earlier reading. */
  ThreadUsage since(ThreadUsage earlier) {
    return new ThreadUsage(cpuNanos - earlier.cpuNanos, allocatedBytes - earlier.allocatedBytes);
  }

  /** Returns the sum of two readings. */
  ThreadUsage plus(ThreadUsage other) {
    return new ThreadUsage(cpuNanos + other.cpuNanos, allocatedBytes + other.allocatedBytes);
  }
}
