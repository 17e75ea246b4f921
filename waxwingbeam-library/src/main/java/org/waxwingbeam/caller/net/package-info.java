/** Serves callers over HTTP/1.1. */
package org.waxwingbeam.caller.net;
