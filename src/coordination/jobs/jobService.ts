/** Answers users' requests about jobs: submissions, queries and cancellations. Any node answers for any job. */
import { jobIdPattern, parseJob } from '../../protocol/job.js';
import type { Reply } from '../../transport/httpServer.js';
import type { UserRequestKind } from '../audit/auditEvent.js';
import { JobAnswers, type JobAnswersContext } from './jobAnswers.js';
import { JobCancellation, type JobCancellationContext } from './jobCancellation.js';
import { JobLookup, type JobLookupContext } from './jobLookup.js';
import { JobSubmission, type JobSubmissionContext } from './jobSubmission.js';
import { NO_SUCH_JOB, unavailable, viewReply, type JobReply } from './replies.js';

/** Dependencies of `JobService`. */
export interface JobServiceContext
  extends JobLookupContext, JobSubmissionContext, JobCancellationContext, JobAnswersContext {
  readonly settings: JobSubmissionContext['settings'];
  readonly stateClient: JobLookupContext['stateClient'] & JobSubmissionContext['stateClient'];
  readonly clock: JobLookupContext['clock'];
  readonly stateCache: JobLookupContext['stateCache'] & JobAnswersContext['stateCache'];
  readonly pipelines: JobLookupContext['pipelines'] & JobAnswersContext['pipelines'];
  readonly peers: JobLookupContext['peers'];
  readonly leadership: JobSubmissionContext['leadership'] & JobAnswersContext['leadership'];
  readonly persistence: JobLookupContext['persistence'] &
    JobSubmissionContext['persistence'] &
    JobCancellationContext['persistence'];
}

/** Answers users' requests and those relayed by peers (`isRelayed`), which are not relayed again. */
export class JobService {
  private readonly lookup: JobLookup;
  private readonly submission: JobSubmission;
  private readonly cancellation: JobCancellation;
  private readonly answers: JobAnswers;

  constructor(private readonly context: JobServiceContext) {
    this.answers = new JobAnswers(context);
    this.lookup = new JobLookup(context);
    this.submission = new JobSubmission(context, this.lookup);
    this.cancellation = new JobCancellation(context, this.lookup);
  }

  /** Accepts a job; a repeated submission is answered with the job's state. */
  async submit(body: string, isRelayed: boolean): Promise<Reply> {
    const parsed = parseJob(body);
    if ('error' in parsed) return { status: 400, body: { error: parsed.error } };
    const { job } = parsed;
    return this.answer('submit', job.id, () => this.submission.submit(job, body, isRelayed));
  }

  /** Answers a query for a job's state. */
  read(id: string, isRelayed: boolean): Promise<Reply> {
    return this.answer('read', id, () => this.lookUp(id, isRelayed));
  }

  /** Cancels a job; a request for a job that has already ended is answered with its state. */
  cancel(id: string, isRelayed: boolean): Promise<Reply> {
    return this.answer('cancel', id, () => this.cancellation.cancel(id, isRelayed));
  }

  private async answer(
    kind: UserRequestKind,
    job: string,
    work: () => Promise<JobReply>,
  ): Promise<Reply> {
    if (!jobIdPattern.test(job)) return NO_SUCH_JOB;
    const request = { kind, job, receivedAt: this.context.clock.now() };
    return this.answers.decideOnSending(request, await work());
  }

  private async lookUp(id: string, isRelayed: boolean): Promise<JobReply> {
    const result = await this.lookup.lookUp(id, !isRelayed);
    switch (result.kind) {
      case 'relayed':
        return result.reply;
      case 'found':
        return viewReply(id, result.view, result.evidence);
      case 'unavailable':
        return unavailable('the state service is out of reach');
      case 'missing':
        return NO_SUCH_JOB;
    }
  }
}
