/** Changes and shows the configuration from an operator's shell. */
package org.waxwingbeam.daemon.operate;
