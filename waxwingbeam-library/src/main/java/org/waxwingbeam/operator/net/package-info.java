/** Serves operators over HTTP. */
package org.waxwingbeam.operator.net;
