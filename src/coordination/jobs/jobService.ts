/** What users ask of jobs: submissions, states, cancellations. Any node answers for any job. */
import { idPattern, jobAnswer } from '../../protocol/job.js';
import type { Reply } from '../../transport/httpServer.js';
import { JobCancellation, type JobCancellationContext } from './jobCancellation.js';
import { JobLookup, type JobLookupContext } from './jobLookup.js';
import { JobSubmission, type JobSubmissionContext } from './jobSubmission.js';
import { NO_SUCH_JOB, unavailable } from './replies.js';

/** What users' requests need of a node. */
export interface JobServiceContext
  extends JobLookupContext, JobSubmissionContext, JobCancellationContext {
  readonly settings: JobSubmissionContext['settings'];
  readonly stateClient: JobLookupContext['stateClient'] & JobSubmissionContext['stateClient'];
  readonly clock: JobLookupContext['clock'];
  readonly stateCache: JobLookupContext['stateCache'];
  readonly peers: JobLookupContext['peers'];
  readonly leadership: JobSubmissionContext['leadership'];
  readonly persistence: JobSubmissionContext['persistence'] & JobCancellationContext['persistence'];
}

/** Answers users' requests, and those that peers pass on (`isRelayed`), which go no further. */
export class JobService {
  private readonly lookup: JobLookup;
  private readonly submission: JobSubmission;
  private readonly cancellation: JobCancellation;

  constructor(context: JobServiceContext) {
    this.lookup = new JobLookup(context);
    this.submission = new JobSubmission(context, this.lookup);
    this.cancellation = new JobCancellation(context, this.lookup);
  }

  /** Accepts a job; a repeated submission is answered as the first was. */
  submit(body: string, isRelayed: boolean): Promise<Reply> {
    return this.submission.submit(body, isRelayed);
  }

  /** How a job stands. */
  async read(id: string, isRelayed: boolean): Promise<Reply> {
    if (!idPattern.test(id)) return NO_SUCH_JOB;
    const result = await this.lookup.view(id, !isRelayed);
    switch (result.kind) {
      case 'relayed':
        return result.reply;
      case 'found':
        return { status: 200, body: jobAnswer(id, result.view) };
      case 'unavailable':
        return unavailable('the state service is out of reach');
      case 'missing':
        return NO_SUCH_JOB;
    }
  }

  /** Cancels a job; one that is over already is answered with its state. */
  cancel(id: string, isRelayed: boolean): Promise<Reply> {
    return this.cancellation.cancel(id, isRelayed);
  }
}
